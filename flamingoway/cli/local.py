"""Commands that need no running entry process."""

from ..output import views
from ..settings import load_settings, parse_settings
from ..status import Code
from .files import read_file
from .result import Result


def check_settings(file: str) -> Result:
    """Check a settings file.

    Args:
        file: Settings; - for standard input.

    Examples:
        flamingoway settings check node.yaml
    """
    settings = parse_settings(read_file(file, "file"), file)
    answer = {
        "code": int(Code.OK),
        "name": Code.OK.name,
        "message": f"{file}: valid settings of process {settings.process_id}",
        "file": file,
        "process_id": settings.process_id,
    }
    return Result(answer, views.as_message)


def serve(*, settings: str) -> int:
    """Run an entry process until SIGTERM.

    Args:
        settings: Settings file.

    Examples:
        flamingoway serve --settings node.yaml
    """
    loaded = load_settings(settings)
    from ..serve import serve as serve_settings

    return serve_settings(loaded)
