"""Encode and decode configurations and voters' reports in peer messages."""

from yuccavalve.configuration import Configuration, Evidence
from yuccavalve.configuration.codec import (
    decode_configuration,
    encode_configuration,
)
from yuccavalve.peers.generated import peer_pb2
from yuccavalve.peers.messages import age_ms, pack_document, unpack_document

__all__ = ('pack_configuration', 'unpack_configuration', 'voter_age')


def pack_configuration(configuration: Configuration) -> bytes:
    """Return a configuration as compressed JSON."""
    return pack_document(encode_configuration(configuration))


def unpack_configuration(packed: bytes) -> Configuration:
    """Return the configuration from ``pack_configuration``.

    Raises
    ------
    zlib.error, ValueError
        When the bytes are not a configuration.
    """
    return decode_configuration(unpack_document(packed))


def voter_age(report: Evidence, now_s: float) -> peer_pb2.VoterAge:
    """Return a voter's report as a message with its age."""
    return peer_pb2.VoterAge(
        voter=report.voter,
        age_ms=age_ms(now_s - report.at_s),
        version=report.version,
    )
