package org.rattanport.kernel.gateway;

import java.util.List;

/**
 * A request on its way at one or several engines.
 *
 * @param id id of the attempt
 * @param shares what each engine does of it
 * @param firstEventMillis predicted time until its first event
 * @param answerMillis predicted time that it writes after that
 * @param pauseMillis longest pause between its events that is on time
 * @param weight what a late answer loses, in short prompts
 */
public record Work(
        String id,
        List<Share> shares,
        double firstEventMillis,
        double answerMillis,
        double pauseMillis,
        double weight) {}
