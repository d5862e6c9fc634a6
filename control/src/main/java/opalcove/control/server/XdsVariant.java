package opalcove.control.server;

import io.envoyproxy.envoy.config.core.v3.Node;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryResponse;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryResponse;
import java.util.function.BiFunction;
import java.util.function.Function;
import opalcove.control.xds.XdsStream;

/**
 * A variant of the xDS protocol: state of the world or incremental.
 *
 * @param typeUrl returns the type URL of a request
 * @param node returns the node of a request
 * @param streamFactory creates the state of a stream from a nonce prefix and the proxy
 * @param <RequestT> request type of this variant
 * @param <ResponseT> response type of this variant
 */
record XdsVariant<RequestT, ResponseT>(
        Function<RequestT, String> typeUrl,
        Function<RequestT, Node> node,
        BiFunction<String, ProxyIdentity, XdsStream<RequestT, ResponseT>> streamFactory) {
    static final XdsVariant<DiscoveryRequest, DiscoveryResponse> SOTW = new XdsVariant<>(
            DiscoveryRequest::getTypeUrl,
            DiscoveryRequest::getNode,
            (noncePrefix, proxy) -> XdsStream.sotw(noncePrefix, proxy.supportsWrappedResources()));
    static final XdsVariant<DeltaDiscoveryRequest, DeltaDiscoveryResponse> DELTA = new XdsVariant<>(
            DeltaDiscoveryRequest::getTypeUrl,
            DeltaDiscoveryRequest::getNode,
            (noncePrefix, proxy) -> XdsStream.delta(noncePrefix));
}
