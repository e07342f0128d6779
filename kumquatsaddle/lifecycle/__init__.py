"""The application object of a process and the composition of an entry instance."""

from kumquatsaddle.lifecycle.application import Application, make_application

__all__ = ["Application", "make_application"]
