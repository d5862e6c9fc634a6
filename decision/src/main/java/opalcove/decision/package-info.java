/**
 * The decision module of a gateway: it admits or sheds each request, selects the backend of each attempt and decides on
 * retries. It does no I/O and reads no clock. {@link opalcove.decision.DecisionModule} receives events with their
 * times, and {@link opalcove.decision.DecisionActions} are the actions that the embedding gateway performs for it. The
 * same code runs in the gateway, in the simulator and in models.
 *
 * <p>{@link opalcove.decision.AdmissionController} creates the other objects. {@code QuotaController} enforces the
 * quotas and ceilings of tenants; {@code CapacityController} measures the capacity and splits it among the classes with
 * {@code CapacityAllocator}; {@code RequestForwarder} handles each request from its queue to its final response; {@code
 * BackendRegistry}, {@code BackendHealth}, {@code SlowStart} and {@code BackendSelector} track and select the backends.
 *
 * <p>One thread delivers all events of an instance. The same events in the same order result in the same actions.
 */
package opalcove.decision;
