/** Requests of callers, their answers and their explanations. */
@NullMarked
package org.rattanport.kernel.request;

import org.jspecify.annotations.NullMarked;
