"""Stand-ins of the second review: the platform's store, replicas and clients, all on loopback, as the users' pages describe them.

A case imports this module, starts gateways with the command of deploy/system.toml and plays its events. Nothing here decides a result."""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
# run.sh turns these into 0, 1 and, like every other end, 2: a fault of a script must not look like a broken rule.
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 10, 2
START = time.monotonic()
# Figures of the sheet of further/stavewright-ne.
BOUNDS = {'graceS': 8, 'revokeMs': 5000, 'budgetRatio': 0.2, 'budgetSlack': 56, 'versionMs': 12000, 'leaseMs': 3000, 'coldOver': 1.5,
          'coldSlack': 5}
LIMITS = {'maxFds': 4100, 'memoryMb': 260}


def has_trouble():
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """record.txt: what was sent, answered and run, with the time in ms."""

    def __init__(self, directory):
        self.file = open(pathlib.Path(directory) / 'record.txt', 'w', buffering=1, encoding='utf-8')

    def __call__(self, text):
        line = f'{(time.monotonic() - START) * 1000:9.1f} ms  {text}'
        self.file.write(line + '\n')


def free_ports(count):
    """Ports below those that the system gives to clients, so that no connection takes one before the gateway does."""
    ports = []
    while len(ports) < count:
        port = random.randrange(20000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Message:
    """A request or response as it was read."""

    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def header(self, name):
        return next((value for key, value in self.headers if key.lower() == name.lower()), '')

    @property
    def method(self):
        return self.first.split(' ')[0]

    @property
    def target(self):
        return self.first.split(' ')[1]

    @property
    def status(self):
        return int(self.first.split(' ')[1])


class NotHttp(ConnectionError):
    """Bytes that are no message of the protocol."""


async def read_head(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    if not re.match(r'HTTP/1\.1 \d{3}( |$)|[A-Za-z]+ \S+ HTTP/1\.1$', lines[0]):
        raise NotHttp(lines[0])
    headers = [tuple(part.strip() for part in line.split(':', 1)) for line in lines[1:] if ':' in line]
    return Message(lines[0], headers, b'')


async def read_chunks(reader, on_chunk=None):
    body = b''
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        if size == 0:
            while await reader.readuntil(b'\r\n') != b'\r\n':
                pass
            return body
        chunk = await reader.readexactly(size)
        await reader.readexactly(2)
        body += chunk
        if on_chunk:
            on_chunk(chunk)


async def read_message(reader, has_body=True, on_chunk=None):
    """Reads a message; raises IncompleteReadError or ConnectionError if it isn't whole."""
    message = await read_head(reader)
    if not has_body:
        return message
    if 'chunked' in message.header('Transfer-Encoding').lower():
        message.body = await read_chunks(reader, on_chunk)
    elif message.header('Content-Length'):
        message.body = await reader.readexactly(int(message.header('Content-Length')))
    elif message.first.startswith('HTTP/') and message.status not in (204, 304):
        message.body = await reader.read()
    return message


def response(status, body=b'', headers=()):
    text = f'HTTP/1.1 {status} X\r\n' + ''.join(f'{key}: {value}\r\n' for key, value in headers)
    return text.encode('latin-1') + f'Content-Length: {len(body)}\r\n\r\n'.encode() + body


class Server:
    """An HTTP/1.1 server on loopback that answers one request at a time on a connection."""

    def __init__(self):
        self.port = 0
        self.server = None

    @property
    def address(self):
        return f'127.0.0.1:{self.port}'

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if not await self.handle(request, reader, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, request, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's store: objects by kind and name, conditional writes, lists and watches."""

    def __init__(self):
        super().__init__()
        self.revision = 100
        self.objects = {}
        self.changes = []
        self.changed = asyncio.Event()
        self.filter = None  # called with each request; may return bytes to answer instead, or 'silent'
        self.after = None  # called with a request and its answer after it was done; may return 'silent'
        self.writes = []

    def put(self, kind, name, spec, status=None):
        self.revision += 1
        known = self.objects.get((kind, name))
        created = known['metadata']['createRev'] if known else self.revision
        item = {'metadata': {'name': name, 'revision': self.revision, 'createRev': created, 'finalizers': [], 'deleting': False},
                'spec': spec, 'status': status}
        self.objects[kind, name] = item
        self.note(kind, item, False)
        return item

    def delete(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item:
            self.revision += 1
            gone = json.loads(json.dumps(item))
            gone['metadata']['revision'] = self.revision
            self.note(kind, gone, True)
        return item

    def note(self, kind, item, deleted):
        self.changes.append((self.revision, kind, {'object': item, 'deleted': deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request, reader, writer):
        instead = self.filter(request) if self.filter else None
        if instead == 'silent':
            await asyncio.sleep(3600)
        answer = instead or await self.answer(request)
        if self.after and self.after(request, answer) == 'silent':
            await asyncio.sleep(3600)
        writer.write(answer)
        await writer.drain()
        return True

    async def answer(self, request):
        path, _, query = request.target.partition('?')
        query = dict(part.partition('=')[::2] for part in query.split('&') if part)
        kind, _, name = path[len('/objects/'):].partition('/')
        if request.method == 'GET' and query.get('watch'):
            return await self.watch(kind, int(query['watch']), int(query.get('waitMs') or 0) / 1000)
        if request.method == 'GET':
            return self.read(kind, name, query.get('after', ''))
        return self.write(request, kind, name)

    def read(self, kind, name, after):
        if name:
            item = self.objects.get((kind, name))
            return self.reply(200, item) if item else self.reply(404, {})
        items = [item for (of, key), item in sorted(self.objects.items()) if of == kind and key > after]
        return self.reply(200, {'items': items, 'more': False, 'storeRevision': self.revision})

    async def watch(self, kind, since, wait):
        end = time.monotonic() + wait
        while True:
            events = [event for revision, of, event in self.changes if of == kind and revision > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return self.reply(200, {'events': events, 'storeRevision': self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def write(self, request, kind, name):
        body = json.loads(request.body) if request.body else {}
        metadata = body.get('metadata', {})
        name = name.split('/')[0] or metadata.get('name', '')
        known = self.objects.get((kind, name))
        self.writes.append((time.monotonic(), request.method, kind, name))
        if request.method == 'DELETE':
            return self.reply(200, self.delete(kind, name)) if known else self.reply(404, {})
        if request.method == 'POST' and known:
            return self.reply(409, known)
        if request.method == 'PUT' and not known:
            return self.reply(404, {})
        if request.method == 'PUT' and 'revision' in metadata and metadata['revision'] != known['metadata']['revision']:
            return self.reply(409, known)
        return self.reply(200, self.put(kind, name, body.get('spec'), body.get('status')))

    @staticmethod
    def reply(status, body):
        return response(status, json.dumps(body).encode(), [('Content-Type', 'application/json')])


class Replica(Server):
    """A replica that records what it runs; `answer` makes the response of a request that it runs."""

    def __init__(self, name, record, answer=None):
        super().__init__()
        self.name, self.record, self.custom = name, record, answer
        self.ran = []

    async def handle(self, request, reader, writer):
        if request.target == '/health':
            writer.write(response(200, b'', [('X-Instance-Id', self.name)]))
            return True
        expected = request.header('X-Expect-Instance')
        attempt = request.header('X-Attempt-Id')
        if expected and expected != self.name:
            writer.write(response(421, b'', [('X-Instance-Id', self.name), ('X-Attempt-Id', attempt), ('X-Not-Executed', '1')]))
            return True
        self.ran.append(request)
        self.record(f'replica {self.name} runs {attempt}: {request.first}, body of {len(request.body)} bytes')
        if self.custom:
            return await self.custom(self, request, reader, writer)
        writer.write(self.success(request, f'answer to {attempt}'.encode()))
        await writer.drain()
        return True

    def success(self, request, body):
        return response(200, body, [('X-Attempt-Id', request.header('X-Attempt-Id')), ('X-Server-Seal', f'seal-{self.name}')])


def route(name, service, kind, timeout_ms=2500, **more):
    return {'name': name, 'host': 'desk.example', 'pathPrefix': f'/{name}/', 'routeType': kind, 'timeoutMs': timeout_ms,
            'targetLatencyMs': 500, 'priority': 1, 'service': service, 'maxAttempts': 2, 'noAuth': False, 'sticky': False, 'resumable': False,
            **more}


def configuration(version, routes, services, tenants):
    return {'version': version, 'routes': routes, 'services': services, 'tenants': tenants,
            'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304, 'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000}}


def service(name, **more):
    return {'name': name, 'healthPath': '/health', 'maxConnections': 110, 'protocol': 'h1', 'tls': False, 'coldS': 0.0, 'coldPerS': 0.0, **more}


def registration(service_name, address, **more):
    return {'service': service_name, 'address': address, 'zone': 'ne-a', 'version': 'v1', 'slots': 6, 'state': 'in_service', 'coldLeftMs': 0,
            'seq': 1, 'born': int(time.time() * 1000), **more}


class Gateway:
    """A gateway process, started with the command and the settings template of the deploy file."""

    def __init__(self, name, store_address, directory):
        self.name, self.directory = name, pathlib.Path(directory)
        front, ready, metrics, peers = free_ports(4)
        self.front, self.ready, self.metrics = front, ready, metrics
        self.settings = self.directory / f'{name}.json'
        values = {'nodeName': name, 'zone': 'ne-a', 'listen.front': f'127.0.0.1:{front}', 'listen.ready': f'127.0.0.1:{ready}',
                  'provider.address': store_address}
        values.update({f'bounds.{key}': value for key, value in BOUNDS.items()})
        values.update({f'limits.{key}': value for key, value in LIMITS.items()})
        text = (ROOT / 'deploy/gateway.json.tmpl').read_text()
        text = text.replace('{{ip}}:9464', f'127.0.0.1:{metrics}').replace('{{ip}}:{{internalPorts.0}}', f'127.0.0.1:{peers}')
        text = re.sub(r'\{\{([\w.]+)\|json\}\}', lambda match: json.dumps(values[match.group(1)]), text)
        self.settings.write_text(text)
        self.process = None

    def start(self):
        command = re.search(r'^run = "(.*)"$', (ROOT / 'deploy/system.toml').read_text(), re.M).group(1).split(' ')
        command = [word if not word.startswith('--settings=') else f'--settings={self.settings}' for word in command]
        log = open(self.directory / f'{self.name}.log', 'ab')
        self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log)
        return self

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection('127.0.0.1', self.ready)
            writer.write(b'GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n')
            answer = await read_message(reader)
            writer.close()
            return answer.status == 200
        except (OSError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise NotRun(f'{self.name} did not become ready')


class NotRun(Exception):
    """The case couldn't be played."""


class Client:
    """A client's connection."""

    def __init__(self, record, port):
        self.record, self.port = record, port
        self.reader = self.writer = self.error = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection('127.0.0.1', self.port)
        return self

    def send(self, data, what):
        self.record(f'client sends {what}')
        self.writer.write(data)

    async def receive(self, what, has_body=True, timeout=10):
        """The next response, or None if the connection ended without a whole one."""
        try:
            answer = await asyncio.wait_for(read_message(self.reader, has_body), timeout)
            self.record(f'client gets {answer.status} for {what}, X-Attempt-Id {answer.header("X-Attempt-Id")}, '
                        f'seal {answer.header("X-Server-Seal") or "none"}, body {answer.body[:120]!r}')
            return answer
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError) as error:
            self.record(f'client gets no whole answer for {what}: {error!r}')
            self.error = error
            return None

    def close(self):
        if self.writer:
            self.writer.close()


def request_bytes(method, target, attempt, key='key-one', body=b'', headers=(), deadline_ms=2500):
    lines = [f'{method} {target} HTTP/1.1', 'Host: desk.example', f'X-Attempt-Id: {attempt}', f'X-Deadline-Ms: {deadline_ms}']
    if key:
        lines.append(f'Authorization: Token {key}')
    lines += [f'{name}: {value}' for name, value in headers]
    if body:
        lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


def end_early(number, frame):
    raise KeyboardInterrupt('told to end')


def play(directory, case):
    """Runs case(record, scratch directory, gateways); it returns the broken rule as text, or None."""
    record = Record(directory)
    scratch = tempfile.mkdtemp(prefix='review-2-')
    gateways = []
    record(f'trouble: {has_trouble()}')
    signal.signal(signal.SIGTERM, end_early)
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, scratch, gateways), 110))
        record(f'BROKEN: {broken}' if broken else 'held')
        result = EXIT_BROKEN if broken else EXIT_HELD
    except (Exception, KeyboardInterrupt) as error:
        record(f'the case could not run: {error!r}')
        result = EXIT_NOT_RUN
    finally:
        for gateway in gateways:
            gateway.stop()
        if os.environ.get('KEEP'):
            print(scratch)
        else:
            shutil.rmtree(scratch, ignore_errors=True)
    sys.exit(result)
