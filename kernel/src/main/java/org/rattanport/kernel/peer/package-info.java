/** Cluster membership and the messages between entry instances. */
@NullMarked
package org.rattanport.kernel.peer;

import org.jspecify.annotations.NullMarked;
