"""Fleet key and backend password, read from files at start-up."""

import dataclasses
import pathlib

import result

from celeryrelay.conf import settings


@dataclasses.dataclass(frozen=True, slots=True)
class Secrets:
    """Secrets that the daemon reads from files at start-up."""

    fleet_key: str = dataclasses.field(repr=False)
    backend_password: str = dataclasses.field(repr=False)


def read_secrets(
    options: settings.Settings,
) -> result.Result[Secrets, str]:
    """Read the secrets from the files named in the settings."""
    texts = []
    for path in (options.fleet_key_file, options.backend_password_file):
        try:
            text = pathlib.Path(path).read_text('utf-8') if path else ''
        except (OSError, UnicodeDecodeError) as error:
            return result.Err('{0}: cannot be read: {1}'.format(path, error))
        texts.append(text.strip())
    if not texts[0]:
        message = '{0}: file of the fleet key is empty'
        return result.Err(message.format(options.fleet_key_file))
    return result.Ok(Secrets(texts[0], texts[1]))
