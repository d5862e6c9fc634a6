/**
 * The decision module of a gateway: it admits or sheds each request, selects the backend of each attempt and decides
 * on retries. It does no I/O and reads no clock: {@link opalcove.decision.DecisionModule} takes events with their
 * times, {@link opalcove.decision.DecisionActions} is what it has the embedding gateway do. The same code runs in the
 * gateway, in the simulator and in models.
 *
 * <p>{@link opalcove.decision.AdmissionController} wires the parts. {@code QuotaController} holds tenants to their
 * quotas and ceilings; {@code CapacityController} measures the capacity and splits it among the classes by {@code
 * CapacityAllocator}; {@code RequestForwarder} takes each request from its queue to its final response; {@code
 * BackendRegistry}, {@code BackendHealth}, {@code SlowStart} and {@code BackendSelector} know the backends.
 *
 * <p>One thread delivers all events of an instance; the same events in the same order give the same actions.
 */
package opalcove.decision;
