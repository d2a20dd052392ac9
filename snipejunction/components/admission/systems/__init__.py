"""Systems of the admission component."""

from snipejunction.components.admission.systems import (
    admit,
    share_requests,
    shares,
)

SYSTEMS = (admit, share_requests, shares)
