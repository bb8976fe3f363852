/** JSON: messages, rows, settings and documents. */
@NullMarked
package org.rattanport.connectors.json;

import org.jspecify.annotations.NullMarked;
