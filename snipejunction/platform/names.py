"""Names of the platform's HTTP paths and headers."""

from __future__ import annotations

from typing import Final

from snipejunction.edge.gateway.header_names import HeaderNames

SETTINGS_VARIABLE: Final = 'SNIPEJUNCTION_BOOT'

HEADER_NAMES: Final = HeaderNames(
    request_id=b'x-snipejunction-request-id',
    deadline=b'x-snipejunction-request-deadline',
    signature=b'x-snipejunction-server-stamp',
    expected_searcher=b'x-snipejunction-expect-instance',
    not_run=b'x-snipejunction-not-executed',
    signatures=b'x-snipejunction-part-stamps',
    missing=b'x-snipejunction-missing-parts',
    stated_limit=b'server-limit',
    key=b'x-snipejunction-key',
    customer=b'x-snipejunction-tenant',
)

PATH_READY: Final = '/ready'
PATH_RESOLVE: Final = '/resolve'
PATH_HEARTBEAT: Final = '/Instances.Heartbeat/'
PATH_DEREGISTER: Final = '/Instances.Deregister/'
PATH_PUT_DOCUMENT: Final = '/Config.Put'
PATH_GET_DOCUMENT: Final = '/Config.Get'
PATH_DRAIN: Final = '/Evacuations.Start/'
PATH_RESTORE: Final = '/Evacuations.End/'
PATH_START_ROLLOUT: Final = '/Rollouts.Start'
PATH_GET_ROLLOUT: Final = '/Rollouts.Get/'
