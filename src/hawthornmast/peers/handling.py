"""Dispatch of messages to handlers, and exchanges of question and answer."""

from collections.abc import Awaitable
from collections.abc import Callable
import inspect
import itertools
import logging
from typing import Any

from result import Err
from result import Ok
from result import Result
import trio

from hawthornmast.audit import log_event
from hawthornmast.common import StepError
from hawthornmast.peers import messages

_LOG = logging.getLogger("hawthornmast.peers")

Handler = Callable[[Any, str], Any | Awaitable[Any]]
SendAnswer = Callable[[messages.Answer], None]


class MessageHandlers:
    """Dispatches messages to handlers and answers to pending questions.

    An exception in a handler closes neither the stream nor the process;
    otherwise a single unexpected message could stop this daemon.
    """

    def __init__(self) -> None:
        self._handlers: dict[type, Handler] = {}
        self._pending_answers: dict[
            int, tuple[str, trio.MemorySendChannel[Any]]
        ] = {}
        self._question_numbers = itertools.count(1)
        self.failures = 0

    def register(self, message_type: type, handler: Handler) -> None:
        """Call ``handler(message, sender)`` for messages of a type."""
        self._handlers[message_type] = handler

    async def ask(
        self,
        instance_id: str,
        message: Any,
        timeout: float,
        *,
        post: Callable[[str, Any], bool],
    ) -> Result[Any, StepError]:
        """Send a question; wait up to ``timeout`` seconds for the answer."""
        number = next(self._question_numbers)
        send_channel, receive_channel = trio.open_memory_channel[Any](1)
        self._pending_answers[number] = (instance_id, send_channel)
        detail = f"no answer in {timeout} s"
        try:
            question = messages.Question(number=number, body=message)
            if not post(instance_id, question):
                detail = "not connected"
            else:
                with trio.move_on_after(timeout):
                    return Ok(await receive_channel.receive())
        finally:
            del self._pending_answers[number]
        return Err(StepError(step="ask-peer", detail=detail, peer=instance_id))

    def dispatch(
        self,
        message: Any,
        sender: str,
        *,
        send_answer: SendAnswer,
        nursery: trio.Nursery,
    ) -> None:
        """Dispatch a message; async handlers run in the nursery."""
        if isinstance(message, messages.Question):
            nursery.start_soon(self._answer, message, sender, send_answer)
        elif isinstance(message, messages.Answer):
            self._handle_answer(message, sender)
        else:
            returned = self._call(message, sender)
            if inspect.isawaitable(returned):
                nursery.start_soon(self._await, returned, message, sender)

    def _handle_answer(self, answer: messages.Answer, sender: str) -> None:
        pending = self._pending_answers.get(answer.number)
        if pending is None or pending[0] != sender:
            return
        try:
            pending[1].send_nowait(answer.body)
        except trio.WouldBlock:
            # Drops a second answer to the same question.
            pass

    async def _answer(
        self, question: messages.Question, sender: str, send_answer: SendAnswer
    ) -> None:
        body = self._call(question.body, sender)
        if inspect.isawaitable(body):
            body = await self._await(body, question.body, sender)
        send_answer(messages.Answer(number=question.number, body=body))

    def _call(self, message: Any, sender: str) -> Any:
        handler = self._handlers.get(type(message))
        if handler is None:
            return None
        try:
            return handler(message, sender)
        except Exception:
            self._record_failure(message, sender)
            return None

    async def _await(
        self, awaitable: Awaitable[Any], message: Any, sender: str
    ) -> Any:
        try:
            return await awaitable
        except Exception:
            self._record_failure(message, sender)
            return None

    def _record_failure(self, message: Any, sender: str) -> None:
        self.failures += 1
        log_event(
            _LOG,
            "peer-message-failed",
            level=logging.ERROR,
            step="handle-message",
            peer=sender,
            type=type(message).__name__,
        )
        _LOG.debug("message handler raised an exception", exc_info=True)
