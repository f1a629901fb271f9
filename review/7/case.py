"""After a tenant has become isolated, requests of other tenants go on from KV cache that its requests made."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'harness-2'))
from standins import (Client, Gateway, NotRun, Replica, Store, configuration, has_trouble, play, registration, request_bytes,  # noqa: E402
                      route, service)

CONFIG_MS = 2000  # configMs of the sheet
MODEL = 'model-one'
ENGINE = {'slots': 64, 'kvCapacity': 61940, 'kvBytes': 35136, 'linkMbps': 550000.0, 'maxInflight': 12, 'models': [{'name': MODEL}]}


class Engine(Replica):
    """Keeps the parts of prompts under X-Cache-Salt, with the tenant whose request made each."""

    def __init__(self, name, record):
        super().__init__(name, record, self.run)
        self.kept = {}
        self.uses = []

    async def run(self, _, request, reader, writer):
        salt, tenant = request.header('X-Cache-Salt'), request.header('X-Tenant-Id')
        for part in request.header('X-Prompt-Prefix').split(','):
            key = (salt, part.split(':')[0])
            if key in self.kept:
                self.uses.append((tenant, self.kept[key], key[1]))
                self.record(f'{request.header("X-Attempt-Id")} of {tenant} goes on from part {key[1]} that {self.kept[key]} made, salt {salt}')
            else:
                self.kept[key] = tenant
                self.record(f'{request.header("X-Attempt-Id")} of {tenant} makes part {key[1]}, salt {salt}')
        event = b'id: 1\ndata: token\n\n'
        head = (f'HTTP/1.1 200 OK\r\nX-Attempt-Id: {request.header("X-Attempt-Id")}\r\nX-Server-Seal: seal\r\nX-Weight-Versions: 1\r\n'
                'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n')
        writer.write(head.encode() + f'{len(event):x}\r\n'.encode() + event + b'\r\n0\r\n\r\n')
        await writer.drain()
        return True


def tenants(is_first_isolated):
    return [{'name': 'tenant-one', 'apiKeys': ['key-one'], 'isolated': is_first_isolated},
            {'name': 'tenant-two', 'apiKeys': ['key-two'], 'isolated': False}]


async def prompt(record, gateway, attempt, key, parts):
    headers = [('X-Model-Id', MODEL), ('X-Token-Usage', '1000,4'), ('X-Prompt-Prefix', parts)]
    client = await Client(record, gateway.front).connect()
    client.send(request_bytes('POST', '/prompts/1', attempt, key=key, body=b'prompt', headers=headers, deadline_ms=5000), attempt)
    answer = await client.receive(attempt)
    client.close()
    if answer is None or answer.status != 200:
        raise NotRun(f'{attempt} was not served')


async def case(record, scratch, gateways):
    store = await Store().start()
    engine = await Engine('i-1', record).start()
    routes = [route('prompts', 'engines', 'streaming', 5000, sticky=True, gapAimMs=300)]
    services = [service('engines', engine=ENGINE)]
    store.put('config', 'main', configuration(3, routes, services, tenants(False)))
    store.put('versions', MODEL, {'model': MODEL, 'version': 1})
    store.put('servers', 'i-1', registration('engines', engine.address, slots=64,
                                             models=[{'name': MODEL, 'version': 1, 'adapters': []}]))
    gateway = Gateway('front-1', store.address, scratch).start()
    gateways.append(gateway)
    await gateway.wait_ready()
    await prompt(record, gateway, 'first-of-one', 'key-one', 'aa01:900,bb01:100')
    if has_trouble():
        store.put('config', 'main', configuration(4, routes, services, tenants(True)))
        record('the operator changes the configuration: tenant-one is isolated')
    await asyncio.sleep(2 * CONFIG_MS / 1000)
    engine.uses.clear()
    await prompt(record, gateway, 'second-of-one', 'key-one', 'aa01:900,bb02:100')
    await prompt(record, gateway, 'first-of-two', 'key-two', 'aa01:900,bb03:100')
    in_force = store.objects['config', 'main']['spec']['tenants']
    isolated = {tenant['name'] for tenant in in_force if tenant['isolated']}
    for user, maker, part in engine.uses:
        if user != maker and isolated & {user, maker}:
            return f'WALL: a request of {user} went on from part {part}, which a request of {maker} made; isolated: {sorted(isolated)}'
    return None


play(pathlib.Path(__file__).parent, case)
