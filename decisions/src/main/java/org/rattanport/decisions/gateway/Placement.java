package org.rattanport.decisions.gateway;

import java.util.List;
import java.util.Optional;
import org.rattanport.kernel.gateway.BackEnd;

/**
 * Where a request goes.
 *
 * @param backEnd the back end that answers
 * @param readers engines that read parts of the prompt besides it
 * @param work what each engine does; empty at plain services
 */
public record Placement(BackEnd backEnd, List<BackEnd> readers, Optional<Work> work) {}
