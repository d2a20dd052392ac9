"""Constants of the directory component."""

from __future__ import annotations

from typing import Final

# Route state of a searcher that accepts no connections.
STATE_DOWN: Final = 'down'

# Load changes are batched for this long before an owner publishes them.
LOAD_PUBLISH_DELAY_SECONDS: Final = 0.1
# Load changes are batched for this long before a registrar forwards them.
LOAD_FORWARD_DELAY_SECONDS: Final = 0.05
# Interval of publications without changes, which reveal lost ones.
HEARTBEAT_SECONDS: Final = 1.0
# Renewal interval of a subscription, with and without a table.
RENEW_SECONDS: Final = 1.0
INITIAL_RENEW_SECONDS: Final = 0.2
# Time to wait for a missing delta before the subscription is renewed.
REORDER_WAIT_SECONDS: Final = 0.1
# A registrar drops a subscriber that does not renew within this time.
SUBSCRIBER_EXPIRY_SECONDS: Final = 5.0
# A root drops a subscription that no request used for this long.
SUBSCRIPTION_IDLE_SECONDS: Final = 120.0
# Entries missing from the table of a new registrar are kept for this long.
RETAINED_ENTRY_SECONDS: Final = 3.0
# Minimum time between two requests to the same owner to publish again.
REPUBLISH_REQUEST_SECONDS: Final = 0.2

# A load is published after its latency changed by this share, or the number of
# requests in use by this share of the limit.
LATENCY_CHANGE_SHARE: Final = 0.25
USE_CHANGE_SHARE: Final = 0.5
MIN_LOAD_INTERVAL_SECONDS: Final = 0.5

# Number of versions whose changes a registrar keeps for deltas.
MAX_LOGGED_CHANGES: Final = 256
# Difference between consecutive versions.
VERSION_STRIDE: Final = 1024
MAX_PARTS: Final = 1024
VERSION_BITS: Final = 40
MAX_PART_BYTES: Final = 2_097_152
MAX_SERVICES: Final = 100_000
