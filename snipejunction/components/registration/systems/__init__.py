"""Systems of the registration component."""

from snipejunction.components.registration.systems import announcing, limits

__all__ = ('announcing', 'limits')
