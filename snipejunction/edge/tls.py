"""TLS contexts of the listeners and of the streams between hosts."""

from __future__ import annotations

import ssl

from snipejunction.errors import SettingsError
from snipejunction.host_settings import TlsFiles


class TlsContexts:
    """TLS contexts for peers and callers from one set of files.

    Peers need a certificate signed by the authority. The handshake of the
    stream authenticates their names, so certificates are not checked against
    addresses.
    """

    __slots__ = ('_files', 'callers', 'peer_client', 'peer_server')

    def __init__(self, files: TlsFiles) -> None:
        """Create the contexts and load the files.

        Raises:
            SettingsError: if a file is missing or invalid.
        """
        self._files = files
        self.callers = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        self.peer_server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        self.peer_client = ssl.create_default_context(ssl.Purpose.SERVER_AUTH)
        self.peer_client.check_hostname = False
        self.reload()
        for context in (self.peer_server, self.peer_client):
            context.verify_mode = ssl.CERT_REQUIRED

    def reload(self) -> None:
        """Reload the files for new connections; open ones are unaffected.

        Raises:
            SettingsError: if a file is missing or invalid.
        """
        files = self._files
        try:
            self._load(files)
        except (OSError, ssl.SSLError) as error:
            raise SettingsError('tls', str(error)) from error

    def _load(self, files: TlsFiles) -> None:
        for context in (self.callers, self.peer_server, self.peer_client):
            context.load_cert_chain(files.certificate, files.key)
        for context in (self.peer_server, self.peer_client):
            context.load_verify_locations(files.authority)
