/** Requests of callers, their answers, and the recorded steps of requests. */
@NullMarked
package org.rattanport.kernel.request;

import org.jspecify.annotations.NullMarked;
