/** Selection of instance addresses for callers, and graceful stop. */
@NullMarked
package org.rattanport.decisions.lifecycle;

import org.jspecify.annotations.NullMarked;
