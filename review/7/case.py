"""A request that lies in the body of another one, whose transfer coding the gateway doesn't know, runs at a replica."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'harness-2'))
from standins import (Client, Gateway, NotRun, Replica, Store, configuration, has_trouble, play, registration, request_bytes, route,  # noqa: E402
                      service)

# Neither coding has a known end on the wire: RFC 9112, 6.3, wants 400 and the end of the connection.
CODINGS = ('gzip', 'chunked, identity')


def in_chunks(body):
    return f'{len(body):x}\r\n'.encode() + body + b'\r\n0\r\n\r\n'


async def case(record, scratch, gateways):
    store = await Store().start()
    replica = await Replica('i-1', record).start()
    store.put('config', 'main', configuration(3, [route('order', 'app', 'non_idempotent')], [service('app')],
                                              [{'name': 'tenant-one', 'apiKeys': ['key-one']}]))
    store.put('servers', 'i-1', registration('app', replica.address))
    gateway = Gateway('front-1', store.address, scratch).start()
    gateways.append(gateway)
    await gateway.wait_ready()
    for number, coding in enumerate(CODINGS):
        # What a user typed and the client passes on as the body of its own request.
        text = request_bytes('POST', '/order/inner', f'inner-{number}', body=b'an order that no client has sent')
        body = text if has_trouble() else in_chunks(text)
        coding = coding if has_trouble() else 'chunked'
        outer = request_bytes('POST', '/order/outer', f'outer-{number}', headers=[('Transfer-Encoding', coding)])
        client = await Client(record, gateway.front).connect()
        client.send(outer + body, f'request outer-{number} with Transfer-Encoding: {coding} and a body of {len(body)} bytes')
        await client.receive(f'outer-{number}', timeout=5)
        await client.receive('what else comes on this connection', timeout=1)
        client.close()
    if not replica.ran and not has_trouble():
        raise NotRun('no request was served, though nothing disturbed it')
    inner = [request for request in replica.ran if request.header('X-Attempt-Id').startswith('inner')]
    emptied = [request for request in replica.ran if request.header('X-Attempt-Id').startswith('outer') and not request.body]
    if inner or emptied:
        return (f'UNASKED: {len(inner)} requests ran that lay inside the body of another request, and {len(emptied)} requests ran '
                'without the body that the client had sent')
    return None


play(pathlib.Path(__file__).parent, case)
