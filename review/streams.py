"""A model server that streams events, and a consumer of streams."""

import http.client
import random
import socket
import threading
import time

EVENT_S = 0.1


class StreamAnswer:
    """Streams numbered events; a run is preempted in its middle where ``pause_s`` is set.

    A run that is preempted makes no event for ``pause_s`` after ``pause_after`` events of its own,
    and then goes on: the server is sound, but short of memory.
    """

    def __init__(self, record, *, events=20, pause_after=4, pause_s=0.0):
        self._record = record
        self.events = events
        self.pause_after = pause_after
        self.pause_s = pause_s
        self.ended = set()

    def __call__(self, server, opened, method, target, headers, body):
        attempt = headers.get("x-chivetrack-attempt-id", "")
        first = int(headers.get("last-event-id") or 0) + 1
        head = [
            "HTTP/1.1 200 OK",
            f"X-Chivetrack-Attempt-Id: {attempt}",
            f"X-Chivetrack-Server-Seal: {server.id}.{attempt}",
            "X-Chivetrack-Weight-Versions: 1",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            "Keep-Alive: timeout=15",
        ]
        try:
            opened.sendall("\r\n".join(head).encode() + b"\r\n\r\n")
            for number in range(first, self.events + 1):
                time.sleep(EVENT_S)
                if self.pause_s and number - first == self.pause_after:
                    self._record.write("preempts", server=server.id, attempt=attempt, event=number)
                    time.sleep(self.pause_s)
                    self._record.write("goes_on", server=server.id, attempt=attempt, event=number)
                event = f"id: {number}\ndata: {'t' * 40} {number}\n\n".encode()
                opened.sendall(b"%x\r\n%b\r\n" % (len(event), event))
            opened.sendall(b"0\r\n\r\n")
        except OSError:
            self._record.write("caller_gone", server=server.id, attempt=attempt)
            raise
        self.ended.add(attempt)


class StreamResult:
    """What a consumer got of a stream."""

    def __init__(self):
        self.attempt = f"{random.getrandbits(64):016x}"
        self.status = 0
        self.ids = []
        self.is_complete = False
        self.took_s = 0.0
        self.longest_gap_s = 0.0
        self.how = ""


def send_stream(record, connection, path, *, limit_s, gap_s, key="key"):
    """Send a stream request on a kept connection and read it to its end."""
    result = StreamResult()
    began = time.monotonic()
    headers = {
        "Host": "one.example",
        "X-Chivetrack-Attempt-Id": result.attempt,
        "X-Chivetrack-Deadline-Ms": str(int(limit_s * 1000)),
        "X-Chivetrack-Key": key,
    }
    record.write("sends", attempt=result.attempt, path=path)
    last = began
    try:
        connection.sock.settimeout(gap_s)
        connection.request("POST", path, body=b"p" * 800, headers=headers)
        answer = connection.getresponse()
        result.status = answer.status
        while True:
            line = answer.readline()
            now = time.monotonic()
            result.longest_gap_s = max(result.longest_gap_s, now - last)
            last = now
            if not line:
                # ``http.client`` ends a chunked answer quietly if its last chunk is missing.
                result.is_complete = answer.status == 200 and answer.isclosed()
                break
            if line.startswith(b"id:"):
                result.ids.append(int(line[3:]))
                record.write("event", attempt=result.attempt, number=result.ids[-1])
    except (OSError, http.client.HTTPException) as error:
        result.how = type(error).__name__
    result.took_s = time.monotonic() - began
    return result


def open_kept(address):
    """Open a connection that is kept for requests."""
    connection = http.client.HTTPConnection(address, timeout=3.0)
    connection.connect()
    connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def run_all(calls):
    """Run the calls at the same time; return their results."""
    results = [None] * len(calls)

    def run(number):
        results[number] = calls[number]()

    threads = [threading.Thread(target=run, args=(number,)) for number in range(len(calls))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results
