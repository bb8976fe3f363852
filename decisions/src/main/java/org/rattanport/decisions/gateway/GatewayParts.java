package org.rattanport.decisions.gateway;

import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.gateway.BackEndClient;
import org.rattanport.kernel.time.TimeSource;

/** What forwarding a request needs of its instance. */
record GatewayParts(
        RoutingInForce routing,
        BackEndRegister register,
        BackEndPlacement prompts,
        BackEndPlacement calls,
        BackEndClient client,
        MemoryLeases leases,
        OutcomeJudge judge,
        LoadBoard loads,
        WorkNews news,
        WorkBook work,
        RepeatAllowance allowance,
        EventStreams events,
        TimeSource time) {}
