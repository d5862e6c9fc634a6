package opalcove.control.server;

import io.envoyproxy.envoy.config.core.v3.Node;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryResponse;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryResponse;
import java.util.function.BiFunction;
import java.util.function.Function;
import opalcove.control.xds.XdsStream;

/** How requests of a variant of the protocol are read, and its streams made of a nonce prefix and the proxy. */
record XdsVariant<Q, R>(
        Function<Q, String> typeUrl,
        Function<Q, Node> node,
        BiFunction<String, ProxyIdentity, XdsStream<Q, R>> stream) {
    static final XdsVariant<DiscoveryRequest, DiscoveryResponse> SOTW = new XdsVariant<>(
            DiscoveryRequest::getTypeUrl,
            DiscoveryRequest::getNode,
            (nonces, proxy) -> XdsStream.sotw(nonces, proxy.features().contains(ProxyIdentity.ENVELOPES)));
    static final XdsVariant<DeltaDiscoveryRequest, DeltaDiscoveryResponse> DELTA = new XdsVariant<>(
            DeltaDiscoveryRequest::getTypeUrl,
            DeltaDiscoveryRequest::getNode,
            (nonces, proxy) -> XdsStream.delta(nonces));
}
