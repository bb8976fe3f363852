/** Prompt texts shared by the demo and the measurements. */
@NullMarked
package org.rattanport.benchmark;

import org.jspecify.annotations.NullMarked;
