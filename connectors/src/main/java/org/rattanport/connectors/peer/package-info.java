/** The peer network: connections, handshake and messages between instances. */
@NullMarked
package org.rattanport.connectors.peer;

import org.jspecify.annotations.NullMarked;
