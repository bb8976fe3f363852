/** JSON encoding of messages and stored rows, and parsing of settings and environment documents. */
@NullMarked
package org.rattanport.connectors.json;

import org.jspecify.annotations.NullMarked;
