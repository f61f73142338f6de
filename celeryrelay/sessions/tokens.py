"""Signed session tokens that carry a log position.

A token is the unpadded base64url encoding of a header, the name of the database
group and a truncated HMAC-SHA-256 of both.
"""

import base64
import binascii
import enum
import hashlib
import hmac
import struct

import result

from celeryrelay.core import positions

TAG_BYTES = 8
MAC_BYTES = 16
TOKEN_VERSION = 1
# Fields: version, deployment tag, term, offset, length of the group's name in
# bytes.
_HEADER = struct.Struct('>B{0}sQQB'.format(TAG_BYTES))


class TokenError(enum.StrEnum):
    """Why a token is refused."""

    forged = 'forged'
    truncated = 'truncated'
    foreign_deployment = 'foreign_deployment'
    foreign_group = 'foreign_group'


class TokenSigner:
    """Signs and verifies the session tokens of one deployment."""

    def __init__(self, key: bytes, deployment: str) -> None:
        """Sign with the secret `key` of the deployment named `deployment`."""
        self._key = key
        self._tag = hashlib.sha256(deployment.encode()).digest()[:TAG_BYTES]

    def sign(self, position: positions.Position) -> str:
        """Return the token of `position`.

        The name of its group may have at most 255 bytes in UTF-8.
        """
        group = position.group.encode()
        body = (
            _HEADER.pack(
                TOKEN_VERSION,
                self._tag,
                position.term,
                position.offset,
                len(group),
            )
            + group
        )
        return _encode(body + self._mac(body))

    def verify(
        self,
        text: str,
        group: str,
    ) -> result.Result[positions.Position, TokenError]:
        """Return the position in the token `text`, which must be of `group`.

        The deployment tag is compared before the signature. Another deployment
        has another key, so that its tokens would otherwise be reported as
        forged.
        """
        raw = _decode(text)
        if raw is None:
            return result.Err(TokenError.forged)
        error = _check_length(raw)
        if error is not None:
            return result.Err(error)
        body, mac = raw[:-MAC_BYTES], raw[-MAC_BYTES:]
        tag, term, offset = _HEADER.unpack_from(body)[1:4]
        if tag != self._tag:
            return result.Err(TokenError.foreign_deployment)
        if not hmac.compare_digest(mac, self._mac(body)):
            return result.Err(TokenError.forged)
        if body[_HEADER.size :] != group.encode():
            return result.Err(TokenError.foreign_group)
        return result.Ok(positions.Position(group, term, offset))

    def _mac(self, body: bytes) -> bytes:
        return hmac.digest(self._key, body, 'sha256')[:MAC_BYTES]


def _encode(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).decode().rstrip('=')


def _decode(text: str) -> bytes | None:
    """Return the bytes of `text`, None if it is not base64url.

    If the token was cut after the first character of a base64 quantum, this
    character is ignored, so that the length check reports a truncated token.
    """
    aligned = text[:-1] if len(text) % 4 == 1 else text
    padding = '=' * (-len(aligned) % 4)
    try:
        return base64.b64decode(
            aligned + padding,
            altchars=b'-_',
            validate=True,
        )
    except (binascii.Error, ValueError):
        return None


def _check_length(raw: bytes) -> TokenError | None:
    if len(raw) < _HEADER.size:
        return TokenError.truncated
    if raw[0] != TOKEN_VERSION:
        return TokenError.forged
    group_length = raw[_HEADER.size - 1]
    expected = _HEADER.size + group_length + MAC_BYTES
    if len(raw) < expected:
        return TokenError.truncated
    return None if len(raw) == expected else TokenError.forged
