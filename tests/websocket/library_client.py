#!/usr/bin/env python3
"""Interoperability test: client and server of python3-websockets, with the gateway in between.

    library_client.py PROGRAM

Exit code 77: the library is missing; the test is skipped.
"""
import asyncio
import json
import os
import socket
import subprocess
import sys
import tempfile

try:
    import websockets
except ImportError:
    print("skipped: python3-websockets is missing")
    sys.exit(77)


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def config(listen, discovery, host):
    grade = {"name": "live", "effect": "retryable", "group": "all", "points": 1, "aimNs": 3000000000,
             "giveUpNs": 3000000000, "stream": False, "lateShare": 0.0, "windowNs": 2000000000}
    return {"name": "n0", "listen": f"127.0.0.1:{listen}", "discovery": f"127.0.0.1:{discovery}", "seed": "1",
            "limits": {"sockets": 1024},
            "known": {"index": 1, "snapshot": True, "endpoints": [
                {"name": "w-0", "address": f"127.0.0.1:{host}", "zone": "a", "type": "std", "group": 0,
                 "status": "active", "weight": 1.0, "since_ms": 0}]},
            "settings": {"ceilings": {"cancel": True, "connectTimeoutNs": 500000000, "idleCloseNs": 60000000000,
                                      "maxAttempts": 3, "maxRetryAfterNs": 1000000000, "retryAfter": False,
                                      "probes": False, "peers": False},
                         "domain": {"warmKeys": False}, "grades": [grade], "groupSize": 1, "myNumber": 0,
                         "overShareWorth": 0.1, "registryMode": "ask",
                         "rules": {"askWithinNs": 10000000000, "coldNs": 9000000000, "coldShare": 0.32,
                                   "drainGraceNs": 500000000, "fallMultiple": 3.0, "fallNs": 2000000000},
                         "stepNs": 5000000, "tenants": [], "zone": "a"}}


async def echo(ws, *_):
    async for message in ws:
        if message == "bye":
            await ws.close(4001, "as asked")
            return
        await ws.send(message)


async def exchange(url, **options):
    async with websockets.connect(url, **options) as ws:
        for message in ["h\u00e9llo", "", "x" * 200000, b"\x00\xff" * 5000]:
            await ws.send(message)
            got = await asyncio.wait_for(ws.recv(), 10)
            assert got == message, "another message came back"
        await ws.send(["in ", "three ", "fragments"])
        assert await asyncio.wait_for(ws.recv(), 10) == "in three fragments"
        pong = await ws.ping()
        await asyncio.wait_for(pong, 10)
        chosen = ws.subprotocol
    return chosen


async def received_close(url):
    async with websockets.connect(url) as ws:
        await ws.send("bye")
        try:
            await asyncio.wait_for(ws.recv(), 10)
        except websockets.ConnectionClosed:
            pass
        return ws.close_code, ws.close_reason


async def main(program):
    silent = await asyncio.start_server(lambda r, w: r.read(), "127.0.0.1", 0)  # discovery accepts the poll and never responds
    discovery = silent.sockets[0].getsockname()[1]
    async with websockets.serve(echo, "127.0.0.1", 0, subprotocols=["stock.v2"]) as server:
        host = list(server.sockets)[0].getsockname()[1]
        listen = free_port()
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "config.json")
            operator = os.path.join(folder, "o.toml")
            with open(path, "w") as f:
                json.dump(config(listen, discovery, host), f)
            with open(operator, "w") as f:
                f.write("[streams]\nenabled = true\n[streams.websocket]\nenabled = true\n")
            gateway = subprocess.Popen([program, "run", "--operator", operator], env={**os.environ, "LB_CONFIG": path})
            try:
                url = f"ws://127.0.0.1:{listen}/live/stock"
                for _ in range(200):
                    try:
                        _, w = await asyncio.open_connection("127.0.0.1", listen)
                        w.close()
                        break
                    except OSError:
                        await asyncio.sleep(0.05)
                assert await exchange(url) is None
                assert await exchange(url, compression=None, subprotocols=["other", "stock.v2"]) == "stock.v2"
                assert await received_close(url) == (4001, "as asked")
                await asyncio.gather(*(exchange(url) for _ in range(5)))
            finally:
                gateway.terminate()
                gateway.wait(30)
    print("8 connections of python3-websockets: every message was echoed")


asyncio.run(asyncio.wait_for(main(sys.argv[1]), 60))
