"""Limits of the answers that an instance receives from backend servers."""

__all__ = ["apply_answer_limits"]


def apply_answer_limits(dispatcher, settings):
    """Set the limits of a dispatcher to those of the settings.

    Parameters
    ----------
    dispatcher : Dispatcher or BalancedDispatcher
    settings : Settings
    """
    dispatcher.max_answer_bytes = settings.get("limits", "answer_bytes")
    dispatcher.answer_memory.max_bytes = settings.get("limits", "receiving_bytes")
