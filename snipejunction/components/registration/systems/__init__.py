"""Systems of the registration component."""

from snipejunction.components.registration.systems import announcing

__all__ = ('announcing',)
