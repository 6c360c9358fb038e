"""Encode and decode the parts of peer messages."""

import zlib

import attrs

from yuccavalve.membership import Member
from yuccavalve.peers.generated import peer_pb2

__all__ = (
    'AGE_UNIT_S',
    'age_byte',
    'age_ms',
    'cyclic_range',
    'decode_member',
    'encode_member',
    'pack_document',
    'unpack_document',
)

_MS = 1000
_MAX_UNPACKED_BYTES = 4194304
_BYTE_MAX = 255
_MAX_AGE_MS = 0xFFFFFFFF
AGE_UNIT_S = 0.064


def encode_member(member: Member) -> peer_pb2.MemberHead:
    """Return a member as a message."""
    return peer_pb2.MemberHead(**attrs.asdict(member))


def decode_member(head: peer_pb2.MemberHead) -> Member:
    """Return the member in a message."""
    return Member(
        member=head.member,
        name=head.name,
        region=head.region,
        availability_zone=head.availability_zone,
        caller_address=head.caller_address,
        peer_address=head.peer_address,
        leaving=head.leaving,
        processor_millicores=head.processor_millicores,
        relay_address=head.relay_address,
    )


def pack_document(document: bytes) -> bytes:
    """Return a compressed document."""
    return zlib.compress(document)


def unpack_document(packed: bytes) -> bytes:
    """Return the document from the output of ``pack_document``.

    Raises
    ------
    ValueError
        When the bytes are not compressed data.
    """
    try:
        return zlib.decompressobj().decompress(packed, _MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise ValueError(f'not compressed: {error}') from error


def cyclic_range(names: list[str], index: int, length: int) -> list[str]:
    """Return names from an index on, continuing at the start of the list."""
    return (names[index:] + names)[: min(length, len(names))]


def age_byte(age_s: float) -> int:
    """Return an age in units of ``AGE_UNIT_S``, rounded up.

    0 stands for an age that does not fit in a byte.
    """
    if age_s >= AGE_UNIT_S * (_BYTE_MAX - 1):
        return 0
    return int(max(0, age_s) / AGE_UNIT_S) + 1


def age_ms(age_s: float) -> int:
    """Return an age in milliseconds, rounded up to never understate it.

    An age that does not fit in 32 bits counts as the highest one.
    """
    return int(min(max(age_s * _MS, -1), _MAX_AGE_MS - 1)) + 1
