/** HTTP calls that say whether they may have reached the other side. */
@NullMarked
package org.rattanport.connectors.http;

import org.jspecify.annotations.NullMarked;
