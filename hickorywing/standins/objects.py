"""A stand-in for the object store that keeps checkpoints, in memory."""

from blacksheep import Application
from blacksheep import Content
from blacksheep import Request
from blacksheep import Response

__all__ = ["make_objects_app"]


def make_objects_app() -> Application:
    """Return the object store as an HTTP application."""
    app = Application()
    objects: dict[str, bytes] = {}

    @app.router.put("/objects/{key}")
    async def put_object(request: Request, key: str) -> Response:
        objects[key] = await request.read() or b""
        return Response(204)

    @app.router.get("/objects/{key}")
    async def get_object(key: str) -> Response:
        if key not in objects:
            return Response(404)
        content = Content(b"application/octet-stream", objects[key])
        return Response(200, None, content)

    @app.router.delete("/objects/{key}")
    async def delete_object(key: str) -> Response:
        objects.pop(key, None)
        return Response(204)

    return app
