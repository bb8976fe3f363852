/**
 * What this instance knows of the store: the routing document, the registry of back ends and which
 * instances read them.
 */
@NullMarked
package org.rattanport.decisions.gateway.discovery;

import org.jspecify.annotations.NullMarked;
