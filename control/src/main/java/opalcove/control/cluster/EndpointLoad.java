package opalcove.control.cluster;

/**
 * The load that one proxy reports for one endpoint since its last report.
 *
 * @param address address and port of the endpoint
 * @param issued number of requests sent to the endpoint
 * @param succeeded number of requests that succeeded
 * @param failed number of requests that failed
 * @param inProgress number of requests in flight at the time of the report
 */
public record EndpointLoad(String address, long issued, long succeeded, long failed, long inProgress) {}
