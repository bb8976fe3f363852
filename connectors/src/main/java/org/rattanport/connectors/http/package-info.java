/** HTTP server and client; a failed request says whether it may have reached the server. */
@NullMarked
package org.rattanport.connectors.http;

import org.jspecify.annotations.NullMarked;
