/** The HTTP front end for callers and operators. */
@NullMarked
package org.rattanport.connectors.caller;

import org.jspecify.annotations.NullMarked;
