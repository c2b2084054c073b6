"""The exception hierarchy of agatecross."""

from .ids import Address, DocumentName, Offset, StoreEra, StreamName


class AgatecrossError(Exception):
    """Base class of every error that agatecross raises."""


class DocumentSyntaxError(AgatecrossError):
    """A configuration document is not well formed."""

    def __init__(self, document: DocumentName, line: int, reason: str) -> None:
        super().__init__(f"{document}:{line}: {reason}")
        self.document = document
        self.line = line
        self.reason = reason


class DeltaError(AgatecrossError):
    """A delta does not fit the document that it is applied to."""


class MessageDecodeError(AgatecrossError):
    """A control message or log record cannot be decoded."""


class LogError(AgatecrossError):
    """Base class of failures of the log service."""

    def __init__(self, stream: StreamName, reason: str) -> None:
        super().__init__(f"stream {stream!r}: {reason}")
        self.stream = stream
        self.reason = reason


class LogUnavailableError(LogError):
    """The log service refused the operation, which certainly had no effect."""


class LogOutcomeUnknownError(LogError):
    """The answer of the log service was lost; an append may have taken effect."""


class PeerError(AgatecrossError):
    """A peer daemon did not answer a control request."""

    def __init__(self, peer: Address, reason: str) -> None:
        super().__init__(f"peer {peer}: {reason}")
        self.peer = peer
        self.reason = reason


class ExchangeError(AgatecrossError):
    """Base class of failures of one HTTP exchange."""

    def __init__(self, address: Address, reason: str) -> None:
        super().__init__(f"{address}: {reason}")
        self.address = address
        self.reason = reason


class ConnectFailedError(ExchangeError):
    """No byte of the request was sent."""


class ConnectionLostError(ExchangeError):
    """The connection closed after the request may have reached the other end."""


class ExchangeTimeoutError(ExchangeError):
    """The other end gave no complete response in time."""


class SettingsError(AgatecrossError):
    """The settings of a process are invalid."""


class StoreError(AgatecrossError):
    """The platform's store failed an operation, or did not confirm it.

    `era` is that of the store if it answered and named it.
    """

    def __init__(self, reason: str, era: StoreEra | None = None) -> None:
        super().__init__(reason)
        self.era = era


class HistoryLostError(StoreError):
    """The store does not have the requested records; `first` is its oldest offset, if named."""

    def __init__(self, reason: str, era: StoreEra | None, first: Offset | None) -> None:
        super().__init__(reason, era)
        self.first = first
