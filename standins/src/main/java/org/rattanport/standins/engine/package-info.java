/** A small stand-in of a model engine. */
@NullMarked
package org.rattanport.standins.engine;

import org.jspecify.annotations.NullMarked;
