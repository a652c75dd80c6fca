"""Composition root of one host: creates its components and connects them.

Only this module and the entry points import from the packages with a shorter life span.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs
from expression import Result

from sesamehold.connection import answer_protocol
from sesamehold.connection import caller_http
from sesamehold.connection import claim_client
from sesamehold.connection import claim_handler
from sesamehold.connection import configuration_exchange
from sesamehold.connection import explanation_peer
from sesamehold.connection import fleet_service
from sesamehold.connection import ledger_peer
from sesamehold.connection import operator_http
from sesamehold.connection import peer_client
from sesamehold.connection import peer_server
from sesamehold.connection import platform_http
from sesamehold.connection import seal
from sesamehold.connection import target_http
from sesamehold.connection import tls
from sesamehold.process import clock as clocks
from sesamehold.process import fleet_view
from sesamehold.process import key_waiters
from sesamehold.process import node as nodes
from sesamehold.process import notice_bridge
from sesamehold.process import policy_dispatcher
from sesamehold.process import settings
from sesamehold.request import claiming
from sesamehold.request import driver
from sesamehold.request import policies

CONNECTIONS_PER_TARGET = 256


class CertificateError(Exception):
    """A certificate file named in the settings cannot be loaded at startup."""


@attrs.frozen
class Certificates:
    """TLS contexts of one host; None where the settings configure no certificate."""

    caller: tls.ReloadingTls | None
    peer_server: tls.ReloadingTls | None
    peer_client: tls.ReloadingTls | None

    @classmethod
    def from_config(cls, config: settings.Settings) -> Certificates:
        """Loads all certificates.

        Raises:
            CertificateError: A file is missing or malformed.
        """
        return cls(
            caller=_load(config.caller_tls, tls.ReloadingTls.for_callers),
            peer_server=_load(config.peer_tls, tls.ReloadingTls.for_peer_server),
            peer_client=_load(config.peer_tls, tls.ReloadingTls.for_peer_client),
        )

    def reload_if_changed(self) -> None:
        """Reloads the certificates whose files have changed."""
        for item in (self.caller, self.peer_server, self.peer_client):
            if item is not None:
                item.reload_if_changed()


@attrs.define(eq=False)
class Components:
    """Components of one host, connected but not started."""

    node: nodes.Node
    certificates: Certificates
    dispatcher: policy_dispatcher.PolicyDispatcher
    notices: notice_bridge.NoticeBridge
    targets: target_http.HttpTargetConnector
    platform: platform_http.PlatformClient
    peers: peer_client.PeerClient
    sealer: seal.Sealer
    claims: claiming.FleetClaims
    ledger_pusher: ledger_peer.LedgerPusher
    fleet: fleet_service.FleetService

    @classmethod
    def from_config(cls, config: settings.Settings) -> Components:
        """Creates all components; requires a running event loop.

        Raises:
            CertificateError: A certificate file is missing or malformed.
        """
        certificates = Certificates.from_config(config)
        clock = clocks.SystemClock()
        dispatcher: policy_dispatcher.PolicyDispatcher | None = None

        def make_dispatcher(
            fleet: fleet_view.FleetView,
        ) -> policy_dispatcher.PolicyDispatcher:
            nonlocal dispatcher
            seed = clock.wall_ms() if config.random_seed is None else config.random_seed
            rng_seed = f"{config.host_id}:{seed}:dispatch"
            dispatcher = policies.build(config, rng_seed, quorum=fleet, pauses=fleet.pause)
            return dispatcher

        node = nodes.Node.from_config(config, clock, make_dispatcher)
        if dispatcher is None:
            raise RuntimeError("Node.from_config did not call make_dispatcher")
        sealer = seal.Sealer.from_keys(config.peer_keys)
        peers = _peer_client(sealer, certificates)
        targets = target_http.HttpTargetConnector.from_config(CONNECTIONS_PER_TARGET, clock)
        platform = platform_http.PlatformClient.from_connector(
            config.platform_address, answer_protocol.AnswerConnector()
        )
        bridge = notice_bridge.NoticeBridge(dispatcher)
        return cls(
            node=node,
            certificates=certificates,
            dispatcher=dispatcher,
            notices=bridge,
            targets=targets,
            platform=platform,
            peers=peers,
            sealer=sealer,
            claims=_claims(node, peers, targets),
            ledger_pusher=ledger_peer.LedgerPusher.from_node(node, peers),
            fleet=fleet_service.FleetService.from_config(
                node,
                platform,
                lambda: _peer_client(sealer, certificates),
                sealer,
                lambda received: bridge.apply(received, clock.now_ms()),
            ),
        )

    def caller_api(self) -> caller_http.CallerApi:
        """Returns the HTTP interface for callers."""
        services = driver.Services(
            clock=self.node.clock,
            slots=self.node.slots,
            targets=self.targets,
            claims=self.claims,
            ledger=self.node.ledger,
            metrics=self.node.metrics,
        )
        return caller_http.CallerApi(self.node, services, self.peers)

    def operator_api(self, start_drain: Callable[[], None]) -> operator_http.OperatorApi:
        """Returns the HTTP interface for operators."""
        return operator_http.OperatorApi(self.node, start_drain, self.peers)

    def peer_server(self) -> peer_server.PeerServer:
        """Returns the gRPC server for other hosts."""
        service = peer_server.PeerService(
            self.claims.client.handler,
            configuration_exchange.ConfigurationService(
                self.node.fleet.configuration_state, self.node.clock
            ),
            ledger_peer.PeerLedgerHandler(self.node),
            explanation_peer.PeerExplanationHandler(self.node),
        )
        return peer_server.PeerServer.from_service(service, self.sealer)


def _load(
    files: settings.Tls | None,
    load: Callable[[settings.Tls], Result[tls.ReloadingTls, tls.CertificateUnusable]],
) -> tls.ReloadingTls | None:
    if files is None:
        return None
    match load(files):
        case Result(tag="ok", ok=loaded):
            return loaded
        case Result(error=unusable):
            raise CertificateError(f"{unusable.path}: {unusable.reason}")


def _peer_client(sealer: seal.Sealer, certificates: Certificates) -> peer_client.PeerClient:
    context = certificates.peer_client
    return peer_client.PeerClient(sealer, context.context if context is not None else None)


def _claims(
    node: nodes.Node, peers: peer_client.PeerClient, targets: target_http.HttpTargetConnector
) -> claiming.FleetClaims:
    waiters = key_waiters.KeyWaiters()
    handler = claim_handler.HostClaimHandler(node.claims, waiters, node.clock)
    return claiming.FleetClaims(
        client=claim_client.ClaimClient(node.claims, handler, peers, node.clock),
        waiters=waiters,
        reader=targets,
        slots=node.slots,
        clock=node.clock,
        rng=node.rng,
    )
