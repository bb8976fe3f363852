/** The network between entry instances. */
@NullMarked
package org.rattanport.connectors.peer;

import org.jspecify.annotations.NullMarked;
