"""The settings of one daemon: section ``[daemon]`` of its INI file."""

from pathlib import Path

from quetzalrudder.exceptions import InvalidSettings, QuetzalrudderError
from quetzalrudder.ini import SettingsErrors, check_values, fill_message, read_ini
from quetzalrudder.operator_keys import check_digests
from quetzalrudder.schema.settings import DaemonSettings
from quetzalrudder.utils import parse_address

__all__ = ["read_daemon_settings"]

LOG_LEVELS = ("debug", "info", "warning", "error")
REQUIRED_DAEMON_KEYS = ("instance", "data_centre", "listen", "control_listen", "platform")


def read_daemon_settings(path: Path) -> DaemonSettings:
    """Read and validate the settings of a daemon.

    Raises
    ------
    InvalidSettings
        The file cannot be read or is invalid; the exception lists every error.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise InvalidSettings(f"cannot read the settings file: {exc}", place=str(path)) from exc
    parser = read_ini(text, str(path))
    errors = [
        InvalidSettings("unknown section", place=f"{path} [{name}]")
        for name in parser.sections()
        if name != "daemon"
    ]
    if "daemon" not in parser:
        errors.append(InvalidSettings("section is missing", place=f"{path} [daemon]"))
        raise SettingsErrors(errors)
    cfg, section_errors = fill_message(DaemonSettings(), parser["daemon"], str(path))
    errors += section_errors + _check_daemon_settings(cfg, f"{path} [daemon]")
    if errors:
        raise SettingsErrors(errors)
    return cfg


def _check_daemon_settings(cfg: DaemonSettings, place: str) -> list[QuetzalrudderError]:
    errors: list[QuetzalrudderError] = [
        InvalidSettings("missing", place=f"{place} {key}")
        for key in REQUIRED_DAEMON_KEYS
        if not getattr(cfg, key)
    ]
    errors += check_values(cfg, place)
    for key in ("listen", "control_listen", "platform", "statsd"):
        try:
            if getattr(cfg, key):
                parse_address(getattr(cfg, key), place=f"{place} {key}")
        except InvalidSettings as exc:
            errors.append(exc)
    for address in (cfg.peers or "").split():
        try:
            parse_address(address, place=f"{place} peers")
        except InvalidSettings as exc:
            errors.append(exc)
    errors += check_digests(cfg.operator_key_digests or "", f"{place} operator_key_digests")
    if cfg.log_level is not None and cfg.log_level not in LOG_LEVELS:
        known = ", ".join(LOG_LEVELS)
        errors.append(
            InvalidSettings(f"not one of {known}: {cfg.log_level!r}", place=f"{place} log_level")
        )
    return errors
