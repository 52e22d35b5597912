"""Field names on the wire and paths of HTTP requests. Other packages use the attribute names of the messages."""

from typing import Final

TOKEN: Final = "Baton"
DISPATCHER: Final = "Foreman"

PATH_JOBS: Final = "/v1/jobs"
PATH_ABORT: Final = "/abort"
PATH_REPORT: Final = "/hello"
PATH_UP: Final = "/up"
PATH_COMMANDS: Final = "/commands"
PATH_STATUS: Final = "/status"
PATH_CATALOG: Final = "/catalog"
PATH_MACHINES: Final = "/machines"
PATH_RETURN: Final = "/machines/return"
PATH_KEYS: Final = "/keys"
PATH_COMMIT: Final = "/commit"
PATH_GRANTS: Final = "/grants"
PATH_EXTEND: Final = "/extend"
PATH_CHANGES: Final = "/changes"
