/** In-process stand-ins for the platform's services and for plain services. */
@NullMarked
package org.rattanport.standins;

import org.jspecify.annotations.NullMarked;
