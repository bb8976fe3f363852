package org.rattanport.kernel.gateway;

import java.util.List;

/**
 * A request in flight at one or several engines.
 *
 * @param id attempt id
 * @param shares the part of the request on each engine
 * @param firstEventMillis predicted time to the first event
 * @param answerMillis predicted decode time after the first event
 * @param pauseMillis maximum gap between two events that is on time
 * @param weight cost of a late answer, relative to that of a short prompt
 */
public record Work(
        String id,
        List<Share> shares,
        double firstEventMillis,
        double answerMillis,
        double pauseMillis,
        double weight) {}
