/** Explains to operators where a prompt would be placed now, and why. */
package org.rattanport.decisions.gateway.explain;
