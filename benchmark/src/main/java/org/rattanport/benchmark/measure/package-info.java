/** Measurements against baselines and budgets. */
@NullMarked
package org.rattanport.benchmark.measure;

import org.jspecify.annotations.NullMarked;
