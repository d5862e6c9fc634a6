package opalcove.control.cluster;

/**
 * What one proxy reports of one endpoint since its last report.
 *
 * @param address the endpoint, as address and port
 * @param issued requests that it sent there
 * @param succeeded requests that succeeded
 * @param failed requests that failed
 * @param inProgress requests that it has in flight there now
 */
public record EndpointLoad(String address, long issued, long succeeded, long failed, long inProgress) {}
