/** Commands that measure a fleet and compare policies and overheads. */
@NullMarked
package org.rattanport.benchmark.measure;

import org.jspecify.annotations.NullMarked;
