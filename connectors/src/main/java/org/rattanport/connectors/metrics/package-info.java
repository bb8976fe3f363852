/** Metrics for Prometheus. */
@NullMarked
package org.rattanport.connectors.metrics;

import org.jspecify.annotations.NullMarked;
