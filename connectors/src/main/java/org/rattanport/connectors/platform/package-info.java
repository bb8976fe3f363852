/** Clients of the platform's services. */
@NullMarked
package org.rattanport.connectors.platform;

import org.jspecify.annotations.NullMarked;
