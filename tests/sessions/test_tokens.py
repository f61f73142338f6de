"""Guards against accepting tokens that this deployment did not issue."""

import base64

import hypothesis
from hypothesis import strategies

from celeryrelay.core import positions
from celeryrelay.sessions import tokens

KEY = b'k' * 32
SIGNER = tokens.TokenSigner(KEY, 'zilina')
OFFSETS = strategies.integers(0, 2**64 - 1)
POSITIONS = strategies.builds(
    positions.Position,
    group=strategies.text(max_size=40),
    term=OFFSETS,
    offset=OFFSETS,
)
SETTINGS = hypothesis.settings(derandomize=True, max_examples=150)
POSITION = positions.Position('rounds', 3, 1200)


@SETTINGS
@hypothesis.given(POSITIONS)
def test_token_returns_its_position(position):
    text = SIGNER.sign(position)
    assert SIGNER.verify(text, position.group).unwrap() == position


def test_every_shortened_token_is_truncated():
    text = SIGNER.sign(POSITION)
    errors = {
        SIGNER.verify(text[:length], 'rounds').unwrap_err()
        for length in range(len(text))
    }
    assert errors == {tokens.TokenError.truncated}


def test_token_with_a_changed_bit_is_refused():
    raw = base64.urlsafe_b64decode(SIGNER.sign(POSITION) + '==')
    for bit in range(len(raw) * 8):
        changed = bytearray(raw)
        changed[bit // 8] ^= 1 << bit % 8
        text = base64.urlsafe_b64encode(changed).decode().rstrip('=')
        assert SIGNER.verify(text, 'rounds').is_err()


def test_appended_bytes_are_a_forgery():
    text = SIGNER.sign(POSITION) + 'AAAA'
    error = SIGNER.verify(text, 'rounds').unwrap_err()
    assert error is tokens.TokenError.forged


def test_other_key_is_a_forgery():
    text = tokens.TokenSigner(b'x' * 32, 'zilina').sign(POSITION)
    error = SIGNER.verify(text, 'rounds').unwrap_err()
    assert error is tokens.TokenError.forged


def test_foreign_deployment_is_reported_even_with_another_key():
    for key in (KEY, b'x' * 32):
        text = tokens.TokenSigner(key, 'pitchwise').sign(POSITION)
        error = SIGNER.verify(text, 'rounds').unwrap_err()
        assert error is tokens.TokenError.foreign_deployment


def test_foreign_group_is_refused():
    error = SIGNER.verify(SIGNER.sign(POSITION), 'crews').unwrap_err()
    assert error is tokens.TokenError.foreign_group


@SETTINGS
@hypothesis.given(strategies.text(max_size=120))
def test_any_other_text_is_refused_without_an_exception(text):
    assert SIGNER.verify(text, 'rounds').is_err()
