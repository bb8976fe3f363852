/** Metrics of the instances in the format of Prometheus. */
@NullMarked
package org.rattanport.connectors.metrics;

import org.jspecify.annotations.NullMarked;
