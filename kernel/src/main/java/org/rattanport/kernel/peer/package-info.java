/** What entry instances know of and say to each other. */
@NullMarked
package org.rattanport.kernel.peer;

import org.jspecify.annotations.NullMarked;
